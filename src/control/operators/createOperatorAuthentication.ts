/*
 * Authenticates operators by bearer tokens, of which only digests are stored. Addresses with many failed attempts are
 * rate limited, and so are operators with many requests.
 */
import { Clock } from "../../runtime";
import { isKeyAccepted } from "../../security";
import { ControlSettings } from "../../settings";
import { AuthenticationOutcome } from "./AuthenticationOutcome";
import { createRateLimiter } from "./createRateLimiter";
import { OperatorAuthentication } from "./OperatorAuthentication";
import { OperatorRole } from "./OperatorRole";

const bearerPattern = /^Bearer (?<token>[!-~]{1,512})$/;
const failureBurst = 10;
const failuresPerSecond = 1 / 6;
const maximumAddresses = 10_000;
const requestBurst = 100;
const requestsPerSecond = 20;
const maximumOperators = 1_000;

/**
 * Creates the authentication of operators.
 * @param operators - The operators, with the digests of their tokens.
 * @param clock - The clock for rate limits.
 */
export function createOperatorAuthentication(
    operators: NonNullable<ControlSettings["operators"]>,
    clock: Clock,
): OperatorAuthentication {
    const failureLimiter = createRateLimiter({
        burst: failureBurst,
        usesPerSecond: failuresPerSecond,
        maximumKeys: maximumAddresses,
        clock,
    });
    const requestLimiter = createRateLimiter({
        burst: requestBurst,
        usesPerSecond: requestsPerSecond,
        maximumKeys: maximumOperators,
        clock,
    });
    return { authenticate };

    function authenticate(authorization: string | undefined, remoteAddress: string): AuthenticationOutcome {
        const failureWaitMilliseconds = failureLimiter.getWaitMilliseconds(remoteAddress);
        if (failureWaitMilliseconds > 0) {
            return { kind: "rateLimited", retryAfterMilliseconds: failureWaitMilliseconds };
        }
        const token = bearerPattern.exec(authorization ?? "")?.groups?.token;
        const operator = token === undefined ? undefined : findOperator(token);
        if (operator === undefined) {
            failureLimiter.addUse(remoteAddress);
            return { kind: "unauthenticated" };
        }
        const requestWaitMilliseconds = requestLimiter.getWaitMilliseconds(operator.name);
        if (requestWaitMilliseconds > 0) {
            return { kind: "rateLimited", retryAfterMilliseconds: requestWaitMilliseconds };
        }
        requestLimiter.addUse(operator.name);
        const role = operator.role === "change" ? OperatorRole.Change : OperatorRole.Read;
        return { kind: "authenticated", operator: { name: operator.name, role } };
    }

    /** Finds the operator of a token. It checks all operators, so that the time doesn't depend on which one matches. */
    function findOperator(token: string): typeof operators[number] | undefined {
        return operators.filter(operator => isKeyAccepted(token, getDigests(operator)))[0];
    }
}

/** Gets the digests of an operator's tokens: one, or two while a token is being replaced. */
function getDigests({ tokenDigest, nextTokenDigest }: NonNullable<ControlSettings["operators"]>[number]): string[] {
    return nextTokenDigest === undefined ? [tokenDigest] : [tokenDigest, nextTokenDigest];
}
