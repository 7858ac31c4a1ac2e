/**
 * Reports the beginning and the end of an outage of a dependency, and nothing in between.
 */
export class Outage {
  private isOpen = false;

  begin(report: () => void): void {
    if (!this.isOpen) {
      this.isOpen = true;
      report();
    }
  }

  end(report: () => void): void {
    if (this.isOpen) {
      this.isOpen = false;
      report();
    }
  }
}
