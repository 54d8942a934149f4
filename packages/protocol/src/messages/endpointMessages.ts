/** Messages about endpoints. */

export interface EndpointMessages {
  /** Announces that endpoints or their host are about to leave. */
  endpointLeaving: {
    readonly endpoints: readonly string[];
    readonly host: string;
    /** Wall-clock milliseconds by which the host is gone; 0 if unknown. */
    readonly goneAt: number;
    /** Whether all endpoints of the host leave, also those not listed. */
    readonly isWhole?: boolean;
  };
  /**
   * Requests the receiver's host list, for a process that has no list yet
   * because the platform is down. Response: `{endpoints}`, empty if the
   * receiver has no list either.
   */
  endpointsWanted: Readonly<Record<string, never>>;
}
