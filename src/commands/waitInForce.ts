/*
 * Waits until a configuration revision is in force on all instances.
 */
import { Clock } from "../runtime";
import { OperatorCallOutcome } from "./OperatorCallOutcome";
import { OperatorClient } from "./OperatorClient";

const maximumWaitPerCallMilliseconds = 20_000;
/** How much longer the client waits for a response than the control member holds the call. */
const responseMarginMilliseconds = 5_000;

/**
 * Polls with long calls until a revision is in force or the timeout has passed.
 * @param client - Calls the control members.
 * @param revision - The configuration revision.
 * @param timeoutMilliseconds - The maximum wait, in milliseconds.
 * @param clock - The clock for the timeout.
 * @returns The outcome of the last call: status 200 if the revision is in force, 202 if it is not yet.
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
