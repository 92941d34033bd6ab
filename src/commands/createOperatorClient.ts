/*
 * Calls the control members over HTTP: the next one where one can't be reached or knows no leader, and again until the
 * deadline. A call whose answer was lost goes out again only where that can do no harm.
 */
import { Agent, request } from "undici";
import { getErrorMessage, hasErrorCode } from "../errors";
import { AttemptOutcome } from "./AttemptOutcome";
import { OperatorAnswer } from "./OperatorAnswer";
import { OperatorCall } from "./OperatorCall";
import { OperatorClient } from "./OperatorClient";
import { OperatorClientOptions } from "./OperatorClientOptions";

const defaultDeadlineMilliseconds = 20_000;
const defaultAttemptMilliseconds = 10_000;
const connectMilliseconds = 3_000;
const firstPauseMilliseconds = 100;
const longestPauseMilliseconds = 2_000;
const unknownStatus = 504;

/** Creates a client; it connects when first used. */
export function createOperatorClient(options: OperatorClientOptions): OperatorClient {
    const { addresses, token, authorities, clock } = options;
    const deadlineMilliseconds = options.deadlineMilliseconds ?? defaultDeadlineMilliseconds;
    const defaultAttempt = options.attemptMilliseconds ?? defaultAttemptMilliseconds;
    const agent = new Agent({ connect: { ca: authorities, timeout: connectMilliseconds } });
    return { send, stop };

    async function send(call: OperatorCall): Promise<OperatorAnswer> {
        const deadline = clock.getMonotonicMilliseconds() + deadlineMilliseconds;
        const reasons = new Map<string, string>();
        let pauseMilliseconds = firstPauseMilliseconds;
        let lastAnswer: OperatorAnswer | undefined;
        let mayHaveRun = false;
        while (true) {
            for (const address of addresses) {
                const remaining = Math.max(0, deadline - clock.getMonotonicMilliseconds());
                const outcome = await attempt(address, call, Math.min(remaining, defaultAttempt));
                switch (outcome.kind) {
                    case "answered":
                        if (!isWorthAnotherAttempt(outcome.status, call)) {
                            return outcome;
                        }
                        lastAnswer = outcome;
                        mayHaveRun ||= outcome.status === unknownStatus;
                        reasons.set(address, `status ${outcome.status}`);
                        break;
                    case "notSent":
                        reasons.set(address, outcome.reason);
                        break;
                    case "lost":
                        reasons.set(address, outcome.reason);
                        mayHaveRun = true;
                        if (!isRepeatable(call)) {
                            return createUnreachable(reasons, mayHaveRun);
                        }
                        break;
                }
            }
            if (clock.getMonotonicMilliseconds() + pauseMilliseconds >= deadline) {
                // An answer that nothing was changed speaks of the last attempt, not of one whose answer was lost.
                return mayHaveRun || lastAnswer === undefined ? createUnreachable(reasons, mayHaveRun) : lastAnswer;
            }
            await clock.sleep(pauseMilliseconds);
            pauseMilliseconds = Math.min(pauseMilliseconds * 2, longestPauseMilliseconds);
        }
    }

    /** Sends a call to one address, once. A call that names no time of its own may take the one given. */
    async function attempt(address: string, call: OperatorCall, milliseconds: number): Promise<AttemptOutcome> {
        const ended = new AbortController();
        const timedOut = new AbortController();
        void clock.sleep(call.attemptMilliseconds ?? milliseconds, ended.signal).then(() => timedOut.abort());
        try {
            const response = await request(new URL(call.path, address), {
                method: call.method,
                headers: { authorization: `Bearer ${token}`, ...getContentHeaders(call) },
                body: call.body === undefined ? undefined : JSON.stringify(call.body),
                dispatcher: agent,
                signal: timedOut.signal,
            });
            return { kind: "answered", status: response.statusCode, body: await response.body.json() };
        }
        catch (error) {
            const reason = timedOut.signal.aborted ? "no answer in time" : getErrorMessage(error);
            return { kind: isNeverSent(error) ? "notSent" : "lost", reason };
        }
        finally {
            ended.abort();
        }
    }

    async function stop(): Promise<void> {
        await agent.destroy();
    }
}

function getContentHeaders(call: OperatorCall): Record<string, string> {
    return call.body === undefined ? {} : { "content-type": "application/json" };
}

/** Tells whether another member, or the same one later, may answer better. */
function isWorthAnotherAttempt(status: number, call: OperatorCall): boolean {
    switch (status) {
        case 429:
        case 503:
            return true;
        case unknownStatus:
            return isRepeatable(call);
        default:
            return false;
    }
}

function isRepeatable(call: OperatorCall): boolean {
    return call.method === "GET" || call.isRepeatable === true;
}

/** Tells whether an error shows that the far end received nothing. */
function isNeverSent(error: unknown): boolean {
    const codes = ["ECONNREFUSED", "EHOSTUNREACH", "ENETUNREACH", "UND_ERR_CONNECT_TIMEOUT", "EADDRNOTAVAIL"];
    const certificateCodes = [
        "DEPTH_ZERO_SELF_SIGNED_CERT",
        "SELF_SIGNED_CERT_IN_CHAIN",
        "CERT_HAS_EXPIRED",
        "UNABLE_TO_VERIFY_LEAF_SIGNATURE",
        "ERR_TLS_CERT_ALTNAME_INVALID",
        "UNABLE_TO_GET_ISSUER_CERT_LOCALLY",
    ];
    return hasErrorCode(error, ...codes, ...certificateCodes);
}

function createUnreachable(reasons: ReadonlyMap<string, string>, mayHaveRun: boolean): OperatorAnswer {
    const reason = [...reasons].map(([address, text]) => `${address}: ${text}`).join("; ");
    return { kind: "unreachable", reason, mayHaveRun };
}
