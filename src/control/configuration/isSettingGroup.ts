/*
 * Distinguishes settings that are inherited as a whole from groups, whose entries are inherited individually.
 */

const groupNames: ReadonlySet<string> = new Set(["models", "limits", "services", "rollouts"]);

/** Returns whether the entries of a setting are inherited individually. */
export function isSettingGroup(settingName: string): boolean {
    return groupNames.has(settingName);
}
