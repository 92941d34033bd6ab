/*
 * Encodes the load of engines for facts.
 */
import { create, toBinary } from "@bufbuild/protobuf";
import { BackendLoadsSchema } from "../protocol";
import { ServerLoad } from "./ServerLoad";

/**
 * Encodes the load of engines.
 * @param loads - The load.
 */
export function encodeServerLoads(loads: readonly ServerLoad[]): Uint8Array {
    return toBinary(BackendLoadsSchema, create(BackendLoadsSchema, { loads: [...loads] }));
}
