/*
 * Computes the capacity floor of a model.
 */

const defaultCapacityFloor = 0.5;

/**
 * Gets how many backend servers must stay in service.
 * @param size - The number of backend servers that the floor is a share of.
 * @param capacityFloor - The minimum share in service, from 0 to 1; where undefined, half of them, rounded down,
 * so that a single backend server can be loaded at all.
 */
export function getMinimumInService(size: number, capacityFloor: number | undefined): number {
    if (capacityFloor === undefined) {
        return Math.floor(size * defaultCapacityFloor);
    }
    const exactCount = size * capacityFloor;
    const nearestInteger = Math.round(exactCount);
    return Math.abs(exactCount - nearestInteger) < Number.EPSILON * size ? nearestInteger : Math.ceil(exactCount);
}
