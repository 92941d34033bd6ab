/*
 * Memory that several holders share.
 */
import { MemoryAccount } from "./MemoryAccount";
import { MemoryHolder } from "./MemoryHolder";

/** A limit on the bytes that all holders hold together. */
export interface MemoryBudget {
    /** Adds a holder without bytes. */
    open(holder: MemoryHolder): MemoryAccount;
}
