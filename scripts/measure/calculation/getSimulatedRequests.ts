/*
 * Turns a workload of the experiment tool into requests of a calculation: each piece's hash follows from the parts of the
 * prompt that it covers, without the text.
 */
import { createHash } from "node:crypto";
import { PriorityName } from "../../../src/control/configuration";
import { PromptPart, Workload } from "../../../src/experiment/workloads";
import { Priority } from "../../../src/protocol";
import { SimulatedRequest } from "./SimulatedRequest";

const blockTokens = 4_096;
const priorities = {
    [PriorityName.Interactive]: Priority.INTERACTIVE,
    [PriorityName.Standard]: Priority.STANDARD,
    [PriorityName.Deferred]: Priority.DEFERRED,
};

/** Gets the completions of a workload. */
export function getSimulatedRequests(workload: Workload): SimulatedRequest[] {
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
    const blockCount = Math.floor(getTokens(parts) / blockTokens);
    const hashes: string[] = [];
    let parent = workspace;
    for (let block = 0; block < blockCount; block++) {
        parent = createHash("sha256").update(parent).update(describeContent(parts, block)).digest("hex").slice(0, 32);
        hashes.push(parent);
    }
    return hashes;
}

/** Names what a piece covers: parts by id, with where in each it begins. */
function describeContent(parts: readonly PromptPart[], block: number): string {
    let start = -block * blockTokens;
    const covered: string[] = [];
    for (const { id, tokens } of parts) {
        if (start < blockTokens && start + tokens > 0) {
            covered.push(`${id}@${start}+${start + tokens >= blockTokens ? "" : tokens}`);
        }
        start += tokens;
    }
    return covered.join(",");
}

function getTokens(parts: readonly PromptPart[]): number {
    return parts.reduce((sum, part) => sum + part.tokens, 0);
}
