/*
 * The context key under which a handler finds the identity of the calling process.
 */
import { createContextKey } from "@connectrpc/connect";
import { PeerIdentity } from "../security";

/** The key of the caller's identity in a call's context values; the value is undefined on a listener without TLS. */
export const peerIdentityKey = createContextKey<PeerIdentity | undefined>(undefined, {
    description: "the identity of the calling process",
});
