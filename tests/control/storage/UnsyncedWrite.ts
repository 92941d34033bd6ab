/** A write to a file of the fake disk that no sync covers yet. */
export type UnsyncedWrite =
    | { kind: "append"; offset: number; data: Uint8Array; }
    | { kind: "truncate"; byteCount: number; };
