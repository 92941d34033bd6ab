/*
 * The handling of queries about the replicated state. They are answered from this member's state, after a read barrier if
 * the query must be linearizable. Queries about the directory are forwarded to the leader if it can be reached, since
 * only the leader has the complete directory.
 */
import { create } from "@bufbuild/protobuf";
import { assertNever } from "../../errors";
import {
    ExecuteOutcome,
    QueryKind,
    QueryRequest,
    QueryRequestSchema,
    QueryResponse,
    QueryResponseSchema,
} from "../../protocol";
import { ReplicatedLog } from "../consensus";
import { ControlPeers } from "./ControlPeers";
import { encodeJson } from "./encodeJson";
import { QueryHandler } from "./QueryHandler";

/**
 * Creates the query handler of one control member.
 * @param log - The replicated log.
 * @param peers - The calls to the other members.
 * @param queryState - Queries this member's state.
 */
export function createQueryHandler(
    log: ReplicatedLog,
    peers: ControlPeers,
    queryState: (kind: QueryKind, argument: string) => unknown,
): QueryHandler {
    return { handle };

    async function handle(request: QueryRequest): Promise<QueryResponse> {
        if (request.kind === QueryKind.DIRECTORY) {
            return await forward(request) ?? handleLocally(request, log.getStatus().appliedIndex);
        }
        if (!request.linearizable && request.kind !== QueryKind.BARRIER) {
            return handleLocally(request, log.getStatus().appliedIndex);
        }
        const outcome = await log.readBarrier();
        switch (outcome.kind) {
            case "passed":
                return handleLocally(request, outcome.index);
            case "noLeader":
            case "notApplied":
                return await forward(request) ?? createFailure(outcome.leaderAddress);
            default:
                return assertNever(outcome);
        }
    }

    function handleLocally(request: QueryRequest, index: bigint): QueryResponse {
        const value = request.kind === QueryKind.BARRIER ? {} : queryState(request.kind, request.argument);
        return create(QueryResponseSchema, {
            outcome: ExecuteOutcome.COMMITTED,
            index,
            json: encodeJson(value),
            leaderAddress: log.getStatus().leaderAddress ?? "",
        });
    }

    /** Forwards a query to the leader; undefined if the leader is this member, is unknown or sends no response. */
    async function forward(request: QueryRequest): Promise<QueryResponse | undefined> {
        const { leaderAddress, memberId, members } = log.getStatus();
        const ownAddress = members.find(member => member.memberId === memberId)?.address;
        if (leaderAddress === undefined || leaderAddress === ownAddress || request.forwarded) {
            return undefined;
        }
        const forwarded = create(QueryRequestSchema, { ...request, forwarded: true });
        const outcome = await peers.query(leaderAddress, forwarded);
        return outcome.kind === "answered" ? outcome.response : undefined;
    }
}

function createFailure(leaderAddress: string | undefined): QueryResponse {
    return create(QueryResponseSchema, { outcome: ExecuteOutcome.NO_LEADER, leaderAddress: leaderAddress ?? "" });
}
