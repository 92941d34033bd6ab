/*
 * Commits commands in the replicated log, at this member or through the leader. The outcome "no leader" is reported only if
 * the command was certainly not committed: this member did not append it, and it was either not sent to the leader or the
 * leader reported that it did not append it.
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
 * Creates the command executor of one control member.
 * @param log - The replicated log.
 * @param peers - The calls to the other members.
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

    /** Forwards the commands to the leader, unless another member has already forwarded them. */
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

/** Gets the outcome of a whole request: unknown if one command's is, or if the commands' outcomes differ. */
function getOverallOutcome(outcomes: readonly ExecuteOutcome[]): ExecuteOutcome {
    if (outcomes.includes(ExecuteOutcome.UNKNOWN)) {
        return ExecuteOutcome.UNKNOWN;
    }
    const isMixed = new Set(outcomes).size > 1;
    return isMixed ? ExecuteOutcome.UNKNOWN : outcomes[0] ?? ExecuteOutcome.COMMITTED;
}
