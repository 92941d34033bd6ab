/*
 * Commits commands in the replicated log, wherever its leader is. "Not committed" is said only where it is certain: the
 * command was not appended here, and its way to the leader ended before it was sent, or the leader said so itself.
 */
import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import {
    Command,
    CommandResult,
    CommandResultSchema,
    CommandSchema,
    ExecuteOutcome,
    ExecuteRequest,
    ExecuteRequestSchema,
    ExecuteResponse,
    ExecuteResponseSchema,
} from "../../protocol";
import { ProposeOutcome, ReplicatedLog } from "../consensus";
import { CommandExecutor } from "./CommandExecutor";
import { ControlPeers } from "./ControlPeers";

const maximumCommandsPerRequest = 1_024;

/**
 * Creates the executor of one control member.
 * @param log - The replicated log.
 * @param peers - The other members.
 */
export function createCommandExecutor(log: ReplicatedLog, peers: ControlPeers): CommandExecutor {
    const pendingExecutions = new Set<Promise<ExecuteResponse>>();
    let isDraining = false;
    return { execute, drain };

    function execute(request: ExecuteRequest): Promise<ExecuteResponse> {
        if (isDraining || request.commands.length > maximumCommandsPerRequest) {
            return Promise.resolve(createUniformResponse(request, ExecuteOutcome.NO_LEADER, ""));
        }
        const response = proposeOrForward(request).finally(() => pendingExecutions.delete(response));
        pendingExecutions.add(response);
        return response;
    }

    async function drain(): Promise<void> {
        isDraining = true;
        await Promise.all(pendingExecutions);
    }

    async function proposeOrForward(request: ExecuteRequest): Promise<ExecuteResponse> {
        const proposals = await Promise.all(request.commands.map(propose));
        const isLeaderElsewhere = proposals.length > 0 && proposals.every(proposal => proposal.kind === "notLeader");
        return isLeaderElsewhere ? forward(request) : createResponse(proposals);
    }

    function propose(command: Command): Promise<ProposeOutcome> {
        return log.propose(toBinary(CommandSchema, command));
    }

    /** Sends the commands to the leader, unless they have been sent on already. */
    async function forward(request: ExecuteRequest): Promise<ExecuteResponse> {
        const { leaderAddress } = log.getStatus();
        if (leaderAddress === undefined || request.forwarded) {
            return createUniformResponse(request, ExecuteOutcome.NO_LEADER, leaderAddress ?? "");
        }
        const forwarded = create(ExecuteRequestSchema, { commands: request.commands, forwarded: true });
        const outcome = await peers.execute(leaderAddress, forwarded);
        switch (outcome.kind) {
            case "answered":
                return outcome.response;
            case "notSent":
                return createUniformResponse(request, ExecuteOutcome.NO_LEADER, "");
            case "unknown":
                return createUniformResponse(request, ExecuteOutcome.UNKNOWN, leaderAddress);
        }
    }

    function createResponse(proposals: readonly ProposeOutcome[]): ExecuteResponse {
        const outcomes = proposals.map(getOutcome);
        return create(ExecuteResponseSchema, {
            results: proposals.map(getResult),
            outcome: getOverallOutcome(outcomes),
            outcomes,
            leaderAddress: log.getStatus().leaderAddress ?? "",
        });
    }
}

function createUniformResponse(request: ExecuteRequest, outcome: ExecuteOutcome, leaderAddress: string) {
    return create(ExecuteResponseSchema, { outcome, outcomes: request.commands.map(() => outcome), leaderAddress });
}

function getOutcome(proposal: ProposeOutcome): ExecuteOutcome {
    switch (proposal.kind) {
        case "committed":
            return ExecuteOutcome.COMMITTED;
        case "unknown":
            return ExecuteOutcome.UNKNOWN;
        case "notLeader":
        case "refused":
            return ExecuteOutcome.NO_LEADER;
    }
}

function getResult(proposal: ProposeOutcome): CommandResult {
    return proposal.kind === "committed"
        ? fromBinary(CommandResultSchema, proposal.result)
        : create(CommandResultSchema);
}

/** Gets the outcome of a whole message: unknown as soon as one command's is. */
function getOverallOutcome(outcomes: readonly ExecuteOutcome[]): ExecuteOutcome {
    if (outcomes.includes(ExecuteOutcome.UNKNOWN)) {
        return ExecuteOutcome.UNKNOWN;
    }
    const isMixed = new Set(outcomes).size > 1;
    return isMixed ? ExecuteOutcome.UNKNOWN : outcomes[0] ?? ExecuteOutcome.COMMITTED;
}
