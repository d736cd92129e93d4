/**
 * Hashing of texts, and rendezvous hashing for the assignment of keys to owners.
 *
 * @module
 */
export * from "./member_ranking.ts";
export * from "./rendezvous.ts";
