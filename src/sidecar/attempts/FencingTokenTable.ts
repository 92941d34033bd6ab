/*
 * A bounded table of the fencing tokens that a sidecar has seen.
 */
import { FencingNumber } from "../../protocol";
import { FencingTokenState } from "./FencingTokenState";

/** Records the state of fencing tokens. */
export interface FencingTokenTable<Value> {
    /** Gets the state of a token. */
    getState(token: FencingNumber): FencingTokenState<Value>;
    /** Records a token that has been dispatched, with a value of its attempt. */
    recordSeen(token: FencingNumber, value: Value): void;
    /** Records a token that must never run. */
    recordForbidden(token: FencingNumber): void;
}
