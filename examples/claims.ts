/*
 * Requests that run at most once. A claim is opened before the request is sent and settled with its answer; a resend
 * gets the answer, and the same key with another body is told apart. Here the part is driven directly; in a program it
 * is a part of a replicated log's state machine. Run: npx tsx examples/claims.ts
 */
import { create } from "@bufbuild/protobuf";
import { createHash } from "node:crypto";
import { ClaimOutcome, ClaimSchema, ClaimState, Command, CommandSchema, createClaimsPart } from "../src";

const workspace = "lockers";
const idempotencyKey = "release-2026-17";
const claims = createClaimsPart();
let index = 0n;

/** Applies a command as the log would. */
function applyCommand(command: Command["command"]) {
    index++;
    const result = claims.apply(create(CommandSchema, { command }), { term: 1n, index, timeMilliseconds: 1_000 });
    if (result?.case !== "claim") {
        throw new Error("The command is not one of claims");
    }
    return result.value;
}

function openClaim(body: string, requestId: string) {
    const claim = create(ClaimSchema, {
        workspace,
        idempotencyKey,
        bodyDigest: createHash("sha256").update(body).digest(),
        companion: "locker-service-1",
        companionIncarnation: "1",
        attempt: 1,
        requestId,
    });
    return applyCommand({ case: "openClaim", value: { claim } as never });
}

const opened = openClaim("open door 4", "request-1");
console.log(`first: ${ClaimOutcome[opened.outcome]}`);
console.log(`resent while it runs: ${ClaimOutcome[openClaim("open door 4", "request-2").outcome]}`);
const answer = { status: 200, headersJson: Buffer.from("{}"), body: Buffer.from("door 4 is open"), truncated: false };
applyCommand({
    case: "settleClaim",
    value: { workspace, idempotencyKey, number: opened.claim!.number, state: ClaimState.ANSWERED, answer } as never,
});
const resent = openClaim("open door 4", "request-3");
console.log(`resent afterwards: ${Buffer.from(resent.claim!.answer!.body).toString("utf8")}`);
console.log(`another body: ${ClaimOutcome[openClaim("open door 5", "request-4").outcome]}`);
