/*
 * The name of a limit.
 */
import { QuotaKind } from "./QuotaKind";

/** Identifies one limit of one level of the configuration tree. */
export interface QuotaName {
    /** The level's path. */
    level: string;
    /** What the limit counts. */
    kind: QuotaKind;
}
