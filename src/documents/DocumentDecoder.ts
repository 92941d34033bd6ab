/*
 * How the text of a document is read; its format is the operators'.
 */
import { RoutingDocument } from "./RoutingDocument";

/**
 * Reads a document.
 * @returns The document, or why it can't be read in full.
 */
export type DocumentDecoder = (
    text: Uint8Array,
) => { kind: "decoded"; document: RoutingDocument; } | { kind: "invalid"; problem: string; };
