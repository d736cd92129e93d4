/**
 * The manifest: the one object whose replacement accepts a change of configuration.
 *
 * @module
 */
import * as v from "valibot";
import { parseBySchema } from "../platform/mod.ts";

/** Key of the manifest in the platform's store. */
export const MANIFEST_KEY = "configuration/manifest";
/** Prefix of the keys of parts. */
export const PART_PREFIX = "configuration/parts/";

/** Schema of a manifest. */
export const ManifestSchema = v.object({
    generation: v.pipe(v.number(), v.integer(), v.minValue(1)),
    author: v.string(),
    editId: v.string(),
    parts: v.record(v.string(), v.string()),
});

/** A generation of the configuration: names the hash of each part. */
export type Manifest = v.InferOutput<typeof ManifestSchema>;

/**
 * Parses a manifest.
 *
 * @param text JSON text of the manifest.
 * @returns The manifest, or `undefined` where `text` is none.
 */
export function parseManifest(text: string): Manifest | undefined {
    return parseBySchema(ManifestSchema, text);
}
