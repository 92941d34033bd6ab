/*
 * How long the contact between an entry process and control lasts without a poll.
 */

/**
 * How long an entry process counts as active after its last poll, in milliseconds. This spans several polls, so that
 * one lost poll does not change the count.
 */
export const entryActivityMilliseconds = 10_000;
