/*
 * The context key of the name under which a caller's calls are counted for rate limits.
 */
import { createContextKey } from "@connectrpc/connect";

/** The key of the caller's name in a call's context values: its instance id, or its address if it has no identity. */
export const peerNameKey = createContextKey("", { description: "the name that the caller's calls are counted under" });
