/*
 * Parses the name of a setting within a level, as operators write it.
 */

const partPattern = /(?:^|\.)(?:"(?<quoted>[^"\\]+)"|(?<plain>[^".\\]+))/y;
const allowedPartPattern = /^[A-Za-z0-9][ -~]{0,127}$/;

/**
 * Parses a setting's dotted name; quoted parts may contain dots.
 * @returns The parts of the name, outermost first; undefined if the text is not a valid setting name.
 */
export function parseSettingName(settingName: string): readonly string[] | undefined {
    const parts: string[] = [];
    partPattern.lastIndex = 0;
    while (partPattern.lastIndex < settingName.length) {
        const groups = partPattern.exec(settingName)?.groups;
        if (groups === undefined) {
            return undefined;
        }
        parts.push(groups.quoted ?? groups.plain!);
    }
    const isValid = parts.length > 0 && parts.every(part => allowedPartPattern.test(part));
    return isValid ? parts : undefined;
}
