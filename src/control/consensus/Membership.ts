/*
 * The changes of the group's members.
 */
import { JoinRequest, JoinResponse } from "../../protocol";
import { MemberChange } from "./MemberChange";
import { ProposeOutcome } from "./ProposeOutcome";

/** Changes the group's members, one at a time. */
export interface Membership {
    /** Proposes one change as the leader, and waits for its outcome. */
    changeMembers(change: MemberChange): Promise<ProposeOutcome>;
    /** Handles the request of a process to be added to the group. */
    handleJoin(request: JoinRequest): Promise<JoinResponse | undefined>;
}
