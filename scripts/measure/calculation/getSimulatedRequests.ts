/*
 * Converts a workload of the experiment tool into the requests of a simulation. The hash of a block is derived from the
 * parts of the prompt that it covers, so the text of the prompt is never created.
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

/**
 * Gets the completion requests of a workload; calls of services are left out.
 * @param workload - The workload.
 */
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
            outputTokens: Math.ceil(request.maximumTokens / 2),
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

/** Describes the content of a block: the id of each part that it covers, with the part's offset in the block. */
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
