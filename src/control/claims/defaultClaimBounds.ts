/*
 * The limits on claims in a group whose operators have not set any.
 */
import { create } from "@bufbuild/protobuf";
import { ClaimBoundsSchema } from "../../protocol";

const answerRetentionMilliseconds = 3_600_000n;
const keyRetentionMilliseconds = 86_400_000n;
const maximumAnswerBytes = 33_554_432n;
const maximumBytesPerAnswer = 262_144n;
const maximumKeys = 200_000;
const maximumKeysPerWorkspace = 100_000;

/** The retention and maximum number of claims, and the bytes of stored responses, where nothing else is set. */
export const defaultClaimBounds = create(ClaimBoundsSchema, {
    answerRetentionMilliseconds,
    keyRetentionMilliseconds,
    maximumAnswerBytes,
    maximumBytesPerAnswer,
    maximumKeys,
    maximumKeysPerWorkspace,
});
