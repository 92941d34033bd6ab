/*
 * A binary heap over an array, with a map from members to positions.
 */
import { IndexedHeap } from "./IndexedHeap";

/**
 * Creates an empty heap.
 * @param isBefore - Returns whether one member comes before another.
 */
export function createIndexedHeap<T>(isBefore: (left: T, right: T) => boolean): IndexedHeap<T> {
    const members: T[] = [];
    const positions = new Map<T, number>();
    return { getFirst: () => members[0], addOrMoveMember, removeMember, getSize: () => members.length };

    function addOrMoveMember(member: T): void {
        let position = positions.get(member);
        if (position === undefined) {
            position = members.length;
            setPosition(member, position);
        }
        moveDown(moveUp(position));
    }

    function removeMember(member: T): boolean {
        const position = positions.get(member);
        if (position === undefined) {
            return false;
        }
        positions.delete(member);
        const last = members.pop()!;
        if (last !== member) {
            setPosition(last, position);
            moveDown(moveUp(position));
        }
        return true;
    }

    /** Moves a member up while it comes before its parent, and returns its new position. */
    function moveUp(start: number): number {
        const member = members[start]!;
        let position = start;
        while (position > 0) {
            const parent = (position - 1) >> 1;
            if (!isBefore(member, members[parent]!)) {
                break;
            }
            setPosition(members[parent]!, position);
            position = parent;
        }
        setPosition(member, position);
        return position;
    }

    /** Moves a member down while a child comes before it. */
    function moveDown(start: number): void {
        const member = members[start]!;
        let position = start;
        for (;;) {
            const child = getFirstChild(position);
            if (child === undefined || !isBefore(members[child]!, member)) {
                break;
            }
            setPosition(members[child]!, position);
            position = child;
        }
        setPosition(member, position);
    }

    /** Gets the position of the child that comes first; undefined if there is no child. */
    function getFirstChild(position: number): number | undefined {
        const left = 2 * position + 1;
        const right = left + 1;
        if (left >= members.length) {
            return undefined;
        }
        return right < members.length && isBefore(members[right]!, members[left]!) ? right : left;
    }

    function setPosition(member: T, position: number): void {
        members[position] = member;
        positions.set(member, position);
    }
}
