/*
 * Knows operators by bearer tokens, of which only digests are held. An address that fails often has to wait, and so has
 * an operator who asks too much.
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
 * Creates the check of operators' tokens.
 * @param operators - The operators, by the digests of their tokens.
 * @param clock - The passing of time.
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
            return { kind: "limited", retryAfterMilliseconds: failureWaitMilliseconds };
        }
        const token = bearerPattern.exec(authorization ?? "")?.groups?.token;
        const operator = token === undefined ? undefined : findOperator(token);
        if (operator === undefined) {
            failureLimiter.addUse(remoteAddress);
            return { kind: "unknown" };
        }
        const requestWaitMilliseconds = requestLimiter.getWaitMilliseconds(operator.name);
        if (requestWaitMilliseconds > 0) {
            return { kind: "limited", retryAfterMilliseconds: requestWaitMilliseconds };
        }
        requestLimiter.addUse(operator.name);
        const role = operator.role === "change" ? OperatorRole.Change : OperatorRole.Read;
        return { kind: "known", operator: { name: operator.name, role } };
    }

    /** Compares a token with those of all operators, in a time that does not depend on which one fits. */
    function findOperator(token: string): typeof operators[number] | undefined {
        return operators.filter(operator => isKeyAccepted(token, getDigests(operator)))[0];
    }
}

/** Gets the digests of an operator's tokens: one, or two while one token replaces another. */
function getDigests({ tokenDigest, nextTokenDigest }: NonNullable<ControlSettings["operators"]>[number]): string[] {
    return nextTokenDigest === undefined ? [tokenDigest] : [tokenDigest, nextTokenDigest];
}
