/*
 * Turns a workload of the experiment tool into requests of a calculation: each piece's hash follows from the parts of the
 * prompt that it covers, without the text.
 */
import { createHash } from "node:crypto";
import { PriorityName } from "../../../src/control/configuration";
import { PromptPart, Workload } from "../../../src/experiment/workloads";
import { Priority } from "../../../src/protocol";
import { ModelRequest } from "./ModelRequest";

const pieceTokens = 4_096;
const priorities = {
    [PriorityName.Interactive]: Priority.INTERACTIVE,
    [PriorityName.Standard]: Priority.STANDARD,
    [PriorityName.Deferred]: Priority.DEFERRED,
};

/** Gets the completions of a workload. */
export function getModelRequests(workload: Workload): ModelRequest[] {
    return workload.requests.flatMap((request, index) =>
        request.kind === "service" ? [] : [{
            id: `request-${index}`,
            arrivalMilliseconds: request.arrivalMilliseconds,
            workspace: request.subscriber.workspace,
            subscriber: request.subscriber.path,
            priority: priorities[request.priority],
            hashes: getHashes(request.subscriber.workspace, request.parts),
            promptTokens: getTokens(request.parts),
            answerTokens: Math.ceil(request.maximumTokens / 2),
            isShort: request.isShort,
            isExcess: request.isExcess,
        }]
    );
}

function getHashes(workspace: string, parts: readonly PromptPart[]): string[] {
    const pieces = Math.floor(getTokens(parts) / pieceTokens);
    const hashes: string[] = [];
    let parent = workspace;
    for (let piece = 0; piece < pieces; piece++) {
        parent = createHash("sha256").update(parent).update(getContent(parts, piece)).digest("hex").slice(0, 32);
        hashes.push(parent);
    }
    return hashes;
}

/** Names what a piece covers: parts by id, with where in each it begins. */
function getContent(parts: readonly PromptPart[], piece: number): string {
    let start = -piece * pieceTokens;
    const covered: string[] = [];
    for (const { id, tokens } of parts) {
        if (start < pieceTokens && start + tokens > 0) {
            covered.push(`${id}@${start}+${start + tokens >= pieceTokens ? "" : tokens}`);
        }
        start += tokens;
    }
    return covered.join(",");
}

function getTokens(parts: readonly PromptPart[]): number {
    return parts.reduce((sum, part) => sum + part.tokens, 0);
}
