/*
 * Publishes what an entry process has heard of the limits of backend servers as facts.
 */
import { FactStore } from "../facts";
import { limitFactKind } from "./limitFactKind";
import { LimitStatement } from "./LimitStatement";

/**
 * Publishes the statements that were not published before.
 * @param facts - The facts of the entry process.
 * @param statements - The statements that it has heard itself.
 */
export function publishLimitStatements(facts: FactStore, statements: readonly LimitStatement[]): void {
    for (const statement of statements) {
        const published = facts.getOwn(limitFactKind, statement.instanceId);
        if (published?.value.statementId !== statement.statementId) {
            facts.publish(limitFactKind, statement.instanceId, statement, statement.ageMilliseconds);
        }
    }
}
