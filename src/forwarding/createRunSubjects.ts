/*
 * The subjects of a caller's request.
 */
import { getRequestSubjectId, RunSubjects } from "../crashQuarantine";
import { Admission } from "./Admission";
import { ForwardedRequest } from "./ForwardedRequest";
import { getSharedPartIds } from "./getSharedPartIds";

/**
 * Creates the subjects of an admitted request. A plain service doesn't read the prompt, so that its parts can't crash it.
 * @param request - The request.
 * @param admission - The service and the workspace.
 */
export function createRunSubjects(
    request: ForwardedRequest,
    { service, workspace }: Extract<Admission, { kind: "admitted"; }>,
): RunSubjects {
    let requestSubjectId: string | undefined;
    return {
        partIds: service.kind === "engine" ? getSharedPartIds(request.prompt) : [],
        getRequestSubjectId: () =>
            requestSubjectId ??= getRequestSubjectId({ ...request, workspaceName: workspace?.name }),
    };
}
