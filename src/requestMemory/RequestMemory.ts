/*
 * The memory that bodies share.
 */
import { BodyAccount } from "./BodyAccount";
import { BodyReader } from "./BodyReader";

/** A limit on the memory of all bodies together. */
export interface RequestMemory {
    /** Opens the account of a body of which nothing has arrived yet. */
    open(reader: BodyReader): BodyAccount;
    /**
     * Reserves the right to discard the rest of a body that is too large.
     * @returns Ends the right; undefined if too many bodies are being discarded.
     */
    startDiscarding(): (() => void) | undefined;
    /** Refuses a body without progress at the next check, since a connection was refused. */
    relieveConnections(): void;
    /** Gets the bytes that are reserved or occupied. */
    getBytes(): number;
    /** Gets the number of bodies that wait for memory. */
    getWaitingCount(): number;
}
