/*
 * Calls the control members over HTTP. Tries the next one where one can't be reached or has no leader, and starts over
 * until the deadline. A call whose response was lost is sent again only if it is repeatable.
 */
import { Agent, request } from "undici";
import { getErrorMessage, hasErrorCode } from "../errors";
import { CallAttemptOutcome } from "./CallAttemptOutcome";
import { OperatorCall } from "./OperatorCall";
import { OperatorCallOutcome } from "./OperatorCallOutcome";
import { OperatorClient } from "./OperatorClient";
import { OperatorClientOptions } from "./OperatorClientOptions";

const defaultTimeoutMilliseconds = 20_000;
const defaultAttemptTimeoutMilliseconds = 10_000;
const connectTimeoutMilliseconds = 3_000;
const initialBackoffMilliseconds = 100;
const maximumBackoffMilliseconds = 2_000;
/** The status of a response that leaves open whether the call has run. */
const unknownOutcomeStatus = 504;

/**
 * Creates a client of the control members' operator interface. It connects on the first call.
 * @param options - The addresses, the token, the timeouts and the clock.
 */
export function createOperatorClient(options: OperatorClientOptions): OperatorClient {
    const { addresses, token, authorities, clock } = options;
    const timeoutMilliseconds = options.timeoutMilliseconds ?? defaultTimeoutMilliseconds;
    const attemptTimeoutMilliseconds = options.attemptTimeoutMilliseconds ?? defaultAttemptTimeoutMilliseconds;
    const agent = new Agent({ connect: { ca: authorities, timeout: connectTimeoutMilliseconds } });
    return { send, stop };

    async function send(call: OperatorCall): Promise<OperatorCallOutcome> {
        const deadlineMilliseconds = clock.getMonotonicMilliseconds() + timeoutMilliseconds;
        const reasonsByAddress = new Map<string, string>();
        let backoffMilliseconds = initialBackoffMilliseconds;
        let lastResponse: OperatorCallOutcome | undefined;
        let mayHaveRun = false;
        while (true) {
            for (const address of addresses) {
                const remainingMilliseconds = Math.max(0, deadlineMilliseconds - clock.getMonotonicMilliseconds());
                const outcome = await sendOnce(
                    address,
                    call,
                    Math.min(remainingMilliseconds, attemptTimeoutMilliseconds),
                );
                switch (outcome.kind) {
                    case "answered":
                        if (!isRetryableStatus(outcome.status, call)) {
                            return outcome;
                        }
                        lastResponse = outcome;
                        mayHaveRun ||= outcome.status === unknownOutcomeStatus;
                        reasonsByAddress.set(address, `status ${outcome.status}`);
                        break;
                    case "notSent":
                        reasonsByAddress.set(address, outcome.reason);
                        break;
                    case "lost":
                        reasonsByAddress.set(address, outcome.reason);
                        mayHaveRun = true;
                        if (!isRepeatable(call)) {
                            return createUnreachableOutcome(reasonsByAddress, mayHaveRun);
                        }
                        break;
                }
            }
            if (clock.getMonotonicMilliseconds() + backoffMilliseconds >= deadlineMilliseconds) {
                // A refusal covers only the last attempt; an earlier attempt, whose response was lost, may have run.
                return mayHaveRun || lastResponse === undefined
                    ? createUnreachableOutcome(reasonsByAddress, mayHaveRun)
                    : lastResponse;
            }
            await clock.sleep(backoffMilliseconds);
            backoffMilliseconds = Math.min(backoffMilliseconds * 2, maximumBackoffMilliseconds);
        }
    }

    /** Sends a call to one address, once. The fallback timeout applies to calls without a timeout of their own. */
    async function sendOnce(
        address: string,
        call: OperatorCall,
        fallbackTimeoutMilliseconds: number,
    ): Promise<CallAttemptOutcome> {
        const attemptEnded = new AbortController();
        const timedOut = new AbortController();
        void clock.sleep(call.attemptTimeoutMilliseconds ?? fallbackTimeoutMilliseconds, attemptEnded.signal).then(() =>
            timedOut.abort()
        );
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
            const reason = timedOut.signal.aborted ? "no response in time" : getErrorMessage(error);
            return { kind: isNotSentError(error) ? "notSent" : "lost", reason };
        }
        finally {
            attemptEnded.abort();
        }
    }

    async function stop(): Promise<void> {
        await agent.destroy();
    }
}

function getContentHeaders(call: OperatorCall): Record<string, string> {
    return call.body === undefined ? {} : { "content-type": "application/json" };
}

/** Returns whether another member, or the same member later, may give another response. */
function isRetryableStatus(status: number, call: OperatorCall): boolean {
    switch (status) {
        case 429:
        case 503:
            return true;
        case unknownOutcomeStatus:
            return isRepeatable(call);
        default:
            return false;
    }
}

function isRepeatable(call: OperatorCall): boolean {
    return call.method === "GET" || call.isRepeatable === true;
}

/** Returns whether an error proves that the server received nothing: the connection or its TLS handshake failed. */
function isNotSentError(error: unknown): boolean {
    const connectionCodes = ["ECONNREFUSED", "EHOSTUNREACH", "ENETUNREACH", "UND_ERR_CONNECT_TIMEOUT", "EADDRNOTAVAIL"];
    const certificateCodes = [
        "DEPTH_ZERO_SELF_SIGNED_CERT",
        "SELF_SIGNED_CERT_IN_CHAIN",
        "CERT_HAS_EXPIRED",
        "UNABLE_TO_VERIFY_LEAF_SIGNATURE",
        "ERR_TLS_CERT_ALTNAME_INVALID",
        "UNABLE_TO_GET_ISSUER_CERT_LOCALLY",
    ];
    return hasErrorCode(error, ...connectionCodes, ...certificateCodes);
}

function createUnreachableOutcome(
    reasonsByAddress: ReadonlyMap<string, string>,
    mayHaveRun: boolean,
): OperatorCallOutcome {
    const reason = [...reasonsByAddress].map(([address, text]) => `${address}: ${text}`).join("; ");
    return { kind: "unreachable", reason, mayHaveRun };
}
