/*
 * The budgets of control on a node.
 */
import { Resource } from "./Resource";

/** The budget of each resource in its unit. Messages have no budget; the budget of time is for one change to be in force. */
export const budgets: Readonly<Record<Resource, number | undefined>> = {
    [Resource.Processor]: 12_000,
    [Resource.Memory]: 256_000_000,
    [Resource.Traffic]: 25_000,
    [Resource.Messages]: undefined,
    [Resource.Time]: 19_000,
};
