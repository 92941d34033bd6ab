/*
 * Requests that run at most once. A claim is opened before a request is sent, and settled with its response. A resend with
 * the same key and body gets the stored response; one with the same key and another body is rejected. This example applies
 * commands directly; in a program, the claims are a part of the state machine of a replicated log.
 *
 * Run: npx tsx examples/claims.ts
 */
import { create } from "@bufbuild/protobuf";
import { createHash } from "node:crypto";
import { ClaimOutcome, ClaimSchema, ClaimState, Command, CommandSchema, createClaimsPart } from "../src";

const workspace = "lockers";
const idempotencyKey = "release-2026-17";
const claims = createClaimsPart();
let index = 0n;

/** Applies a command in the same way as the log. */
function applyCommand(command: Command["command"]) {
    index++;
    const result = claims.apply(create(CommandSchema, { command }), { term: 1n, index, timeMilliseconds: 1_000 });
    if (result?.case !== "claim") {
        throw new Error("The command did not return the result of a claim");
    }
    return result.value;
}

/** Opens a claim for a request with the same key and the given body. */
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
