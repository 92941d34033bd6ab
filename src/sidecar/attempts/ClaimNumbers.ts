/*
 * The claims' numbers that a sidecar has seen, bounded.
 */
import { FencingNumber } from "../../protocol";
import { NumberState } from "./NumberState";

/** Remembers claims' numbers. */
export interface ClaimNumbers<Value> {
    /** Gets what is known of a number. */
    getState(number: FencingNumber): NumberState<Value>;
    /** Remembers a number that has come. */
    addSeen(number: FencingNumber, value: Value): void;
    /** Remembers a number that must never run. */
    addForbidden(number: FencingNumber): void;
}
