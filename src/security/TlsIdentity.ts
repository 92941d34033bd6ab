/*
 * The TLS identity of a process, which is reloaded when its files change.
 */
import type { SecureContext } from "node:tls";
import { Stoppable } from "../runtime";
import { TlsMaterial } from "./TlsMaterial";

/** The certificates and the private key in use; stopping ends the checks for changed files. */
export interface TlsIdentity extends Stoppable {
    /** Gets the content of the files in use. */
    getMaterial(): TlsMaterial;
    /** Gets the secure context for new connections to other processes. */
    getSecureContext(): SecureContext;
    /**
     * Adds a listener that is called after each reload.
     * @param listener - The listener; the new material is in use when it is called.
     * @returns A function that removes the listener.
     */
    addChangeListener(listener: () => void): () => void;
}
