/*
 * Adds the facts on limits to the ledger of a control member.
 */
import { FactStore } from "../facts";
import { Clock } from "../runtime";
import { limitFactKind } from "./limitFactKind";
import { LimitLedger } from "./LimitLedger";

/**
 * Adds the statements that the control member knows.
 * @param facts - The facts of the control member.
 * @param ledger - The ledger.
 * @param clock - The clock of the facts.
 */
export function readLimitFacts(facts: FactStore, ledger: LimitLedger, clock: Clock): void {
    const now = clock.getMonotonicMilliseconds();
    for (const { timeMilliseconds, value } of facts.getAll(limitFactKind)) {
        ledger.addStatement({ ...value, ageMilliseconds: now - timeMilliseconds });
    }
}
