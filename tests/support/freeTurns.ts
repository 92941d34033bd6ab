import { ConnectionTurns } from "../../src/requestMemory";

/** Turns without a limit. */
export const freeTurns: ConnectionTurns = { observeBody: () => () => undefined };
