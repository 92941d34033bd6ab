/*
 * The claims' numbers that a sidecar has seen, bounded.
 */
import { FencingNumber } from "../../protocol";
import { FencingTokenState } from "./FencingTokenState";

/** Remembers claims' numbers. */
export interface FencingTokenTable<Value> {
    /** Gets what is known of a number. */
    getState(number: FencingNumber): FencingTokenState<Value>;
    /** Remembers a number that has come. */
    recordSeen(number: FencingNumber, value: Value): void;
    /** Remembers a number that must never run. */
    recordForbidden(number: FencingNumber): void;
}
