/*
 * The backend server behind a sidecar.
 */
import { EngineAdapter, ServiceAdapter } from "../backends";
import { PrefixIndex } from "./PrefixIndex";

/** A backend server with what is known of it. */
export type Backend =
    | { kind: "engine"; adapter: EngineAdapter; index: PrefixIndex; }
    | { kind: "service"; adapter: ServiceAdapter; };
