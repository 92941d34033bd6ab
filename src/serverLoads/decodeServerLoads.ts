/*
 * Decodes the load of engines from facts.
 */
import { fromBinary } from "@bufbuild/protobuf";
import { BackendLoadsSchema } from "../protocol";
import { ServerLoad } from "./ServerLoad";

/**
 * Decodes the load of engines; throws where the bytes are none.
 * @param bytes - The encoded load.
 */
export function decodeServerLoads(bytes: Uint8Array): readonly ServerLoad[] {
    return fromBinary(BackendLoadsSchema, bytes).loads;
}
