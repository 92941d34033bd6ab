/*
 * An order to an engine to take new weights.
 */
import { FleetInstance } from "../protocol";

/** What is ordered, of whom, and by what right. */
export interface WeightsOrder {
    /** The engine. */
    instance: FleetInstance;
    /** The model whose weights change. */
    model: string;
    /** The version to serve. */
    weightsVersion: number;
    /** Who gives the order: the process that leads. */
    holder: string;
    /** Orders with a lower number than an engine has seen are refused by it. */
    fencingToken: bigint;
    /** How many orders the engine must have taken; the order is void otherwise, however late it arrives. */
    expectedOrderCount: number;
}
