/*
 * The backend server behind a sidecar.
 */
import { EngineAdapter, ServiceAdapter } from "../backends";
import { PrefixIndex } from "./PrefixIndex";

/** An engine with the index of its prefix cache, or a plain service. */
export type Backend =
    | { kind: "engine"; adapter: EngineAdapter; index: PrefixIndex; }
    | { kind: "service"; adapter: ServiceAdapter; };
