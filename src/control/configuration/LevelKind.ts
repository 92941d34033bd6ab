/*
 * The kinds of levels in the configuration tree, from the top down.
 */

/** The kind of a level. */
export enum LevelKind {
    Root = "root",
    Workspace = "workspace",
    Team = "team",
    Subscriber = "subscriber",
}
