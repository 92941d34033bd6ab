/*
 * The limits of backend servers, at a control member.
 */
import { SharedLimit } from "../fleet";
import { LimitStatement } from "./LimitStatement";

/** Joins what entry processes report of limits. */
export interface LimitLedger {
    /** Adds a statement; an older one than that which is known, or a repeated one, changes nothing. */
    addStatement(statement: LimitStatement): void;
    /**
     * Divides the limits among entry processes.
     * @param entryIds - The ids of the active entry processes.
     */
    getSharedLimits(entryIds: readonly string[]): readonly SharedLimit[];
}
