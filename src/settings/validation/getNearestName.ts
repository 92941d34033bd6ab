/*
 * Finds the name that someone may have meant.
 */
import { distance } from "fastest-levenshtein";

const charactersPerEdit = 3;
const minimumAllowedDistance = 2;

/**
 * Gets the known name that is nearest to one that is not known.
 * @returns The name, or undefined where none is near.
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
