/*
 * The subject of a whole request: a cryptographic digest, so that no caller can aim a request of its own at the subject
 * of another one. The workspace is the authenticated one, and its digest precedes that of the request. Headers are left
 * out, since those that clients add differ between requests that are the same otherwise.
 */
import { createHash } from "node:crypto";
import { RequestIdentity } from "./RequestIdentity";
import { requestSubjectPrefix } from "./requestSubjectPrefix";

/** The length of a request's digest, in hexadecimal digits: 128 bits. */
const requestDigestLength = 32;
/** The length of a workspace's digest, in hexadecimal digits; workspaces that share one only share a bound. */
const workspaceDigestLength = 8;

/**
 * Gets the id of a request's subject.
 * @param identity - The fields that make up the identity.
 */
export function getRequestSubjectId({ method, host, target, workspaceName, body }: RequestIdentity): string {
    const head = JSON.stringify([method, host.toLowerCase(), target, workspaceName]);
    const request = createHash("sha256").update(head).update("\n").update(body).digest("hex");
    const workspace = createHash("sha256").update(workspaceName ?? "").digest("hex");
    return `${requestSubjectPrefix}${workspace.slice(0, workspaceDigestLength)}-${
        request.slice(0, requestDigestLength)
    }`;
}
