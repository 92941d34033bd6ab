/*
 * Decodes and validates the text of a routing document. The format is the operators' own, so the platform supplies the
 * decoder.
 */
import { RoutingDocument } from "./RoutingDocument";

/**
 * Decodes a document.
 * @param text - The document as the operator sent it.
 * @returns The document, or the reason why it is not valid.
 */
export type DocumentDecoder = (
    text: Uint8Array,
) => { kind: "decoded"; document: RoutingDocument; } | { kind: "invalid"; problem: string; };
