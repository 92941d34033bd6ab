/*
 * Finds the known name that a misspelt name was probably meant to be.
 */
import { distance } from "fastest-levenshtein";

/** The number of characters of a name for each edit that is allowed. */
const charactersPerEdit = 3;
/** The edit distance that is allowed however short the name is. */
const minimumAllowedDistance = 2;

/**
 * Gets the known name with the smallest edit distance, ignoring case.
 * @param name - The unknown name.
 * @param knownNames - The names to choose from.
 * @returns The name, or undefined where none is similar enough.
 */
export function getNearestName(name: string, knownNames: readonly string[]): string | undefined {
    const maximumDistance = Math.max(minimumAllowedDistance, Math.floor(name.length / charactersPerEdit));
    let nearest: string | undefined;
    let nearestDistance = maximumDistance + 1;
    for (const knownName of knownNames) {
        const nameDistance = distance(name.toLowerCase(), knownName.toLowerCase());
        if (nameDistance < nearestDistance) {
            nearest = knownName;
            nearestDistance = nameDistance;
        }
    }
    return nearest;
}
