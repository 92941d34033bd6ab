/*
 * Counts the bytes of encoded messages between control members.
 */
import { create, toBinary } from "@bufbuild/protobuf";
import { randomUUID } from "node:crypto";
import { AppendRequestSchema, AppendResponseSchema, LogEntry } from "../../../src/protocol";
import { Figure } from "./Figure";

/**
 * Counts the bytes of a heartbeat with its response, and of one more log entry in a message.
 * @param entries - A list with one log entry.
 * @param leaderAddress - The leader's address, which each message contains.
 */
export function countBytes(entries: readonly LogEntry[], leaderAddress: string): Figure[] {
    const request = create(AppendRequestSchema, {
        group: "region",
        term: 10n,
        leaderId: randomUUID(),
        leaderAddress,
        previousIndex: 1_000_000n,
        previousTerm: 10n,
        commitIndex: 1_000_000n,
        recipientId: randomUUID(),
    });
    const response = create(AppendResponseSchema, {
        term: 10n,
        accepted: true,
        lastIndex: 1_000_000n,
        memberId: randomUUID(),
    });
    const emptyBytes = toBinary(AppendRequestSchema, request).length;
    const filledBytes =
        toBinary(AppendRequestSchema, create(AppendRequestSchema, { ...request, entries: [...entries] })).length;
    const responseBytes = toBinary(AppendResponseSchema, response).length;
    return [
        { name: "log.heartbeat.messageBytes", value: emptyBytes + responseBytes, unit: "bytes/heartbeat/peer" },
        {
            name: "log.commit.messageBytes",
            value: filledBytes - emptyBytes,
            unit: "bytes/commit/peer (200-byte command)",
        },
    ];
}
