/*
 * The regions that a configuration change concerns.
 */

/** The scope of a configuration change; each workspace belongs to one home region. */
export type ChangeScope =
    /** Only workspaces of one home region: that region's control group orders the change alone. */
    | { kind: "region"; region: string; }
    /** Settings shared by all regions, or workspaces of several home regions: every region's group must accept it. */
    | { kind: "spanning"; };
