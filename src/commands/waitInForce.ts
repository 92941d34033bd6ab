/*
 * Waits for a change's coming into force everywhere.
 */
import { Clock } from "../runtime";
import { OperatorCallOutcome } from "./OperatorCallOutcome";
import { OperatorClient } from "./OperatorClient";

const maximumWaitPerCallMilliseconds = 20_000;
const responseMarginMilliseconds = 5_000;

/**
 * Asks until a revision is in force or the time is over.
 * @param revision - The configuration revision.
 * @param timeoutMilliseconds - The longest wait.
 * @param clock - The passing of time.
 * @returns The last answer: status 200 where the revision is in force.
 */
export async function waitInForce(
    client: OperatorClient,
    revision: number,
    timeoutMilliseconds: number,
    clock: Clock,
): Promise<OperatorCallOutcome> {
    const deadlineMilliseconds = clock.getMonotonicMilliseconds() + timeoutMilliseconds;
    while (true) {
        const remainingMilliseconds = Math.max(0, Math.round(deadlineMilliseconds - clock.getMonotonicMilliseconds()));
        const waitMilliseconds = Math.min(remainingMilliseconds, maximumWaitPerCallMilliseconds);
        const outcome = await client.send({
            method: "GET",
            path: `/v1/configuration/in-force?revision=${revision}&waitMilliseconds=${waitMilliseconds}`,
            attemptTimeoutMilliseconds: waitMilliseconds + responseMarginMilliseconds,
        });
        const isPending = outcome.kind === "answered" && outcome.status === 202;
        if (!isPending || clock.getMonotonicMilliseconds() >= deadlineMilliseconds) {
            return outcome;
        }
    }
}
