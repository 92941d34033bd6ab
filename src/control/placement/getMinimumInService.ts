/*
 * Counts the capacity floor.
 */

const defaultCapacityFloor = 0.5;

/**
 * Gets how many backend servers must stay in service.
 * @param size - How many there should be.
 * @param capacityFloor - The least share, from 0 to 1; where undefined, half of them, rounded down, so that a single
 * one can be loaded at all.
 */
export function getMinimumInService(size: number, capacityFloor: number | undefined): number {
    if (capacityFloor === undefined) {
        return Math.floor(size * defaultCapacityFloor);
    }
    const exactCount = size * capacityFloor;
    const nearestInteger = Math.round(exactCount);
    return Math.abs(exactCount - nearestInteger) < Number.EPSILON * size ? nearestInteger : Math.ceil(exactCount);
}
