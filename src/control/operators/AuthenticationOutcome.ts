/*
 * The outcome of authenticating an operator's request.
 */
import { Operator } from "./Operator";

/** The operator, or why the request is refused. */
export type AuthenticationOutcome =
    | { kind: "authenticated"; operator: Operator; }
    /** The token is missing, malformed or unknown. */
    | { kind: "unauthenticated"; }
    /** The address has failed to authenticate too often, or the operator sends too many requests. */
    | { kind: "rateLimited"; retryAfterMilliseconds: number; };
