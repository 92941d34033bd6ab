/*
 * A single-member change of the group.
 */

/** A change of the group that affects one member. */
export type MemberChange =
    | { kind: "addLearner"; memberId: string; address: string; }
    | { kind: "setAddress"; memberId: string; address: string; }
    | { kind: "promote"; memberId: string; }
    | { kind: "remove"; memberId: string; };
