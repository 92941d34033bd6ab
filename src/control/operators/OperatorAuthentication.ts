/*
 * Authenticates operators by their tokens.
 */
import { AuthenticationOutcome } from "./AuthenticationOutcome";

/** Checks operators' tokens, and limits failed attempts and requests. */
export interface OperatorAuthentication {
    /**
     * Authenticates a request by its token, and counts it against the rate limits.
     * @param authorization - The value of the `Authorization` header; undefined if absent.
     * @param remoteAddress - The IP address of the client.
     * @returns The operator, or why the request is refused.
     */
    authenticate(authorization: string | undefined, remoteAddress: string): AuthenticationOutcome;
}
