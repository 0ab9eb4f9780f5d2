package host

import (
	"net/http"
	"time"

	"github.com/gin-gonic/gin"

	"hawthornfield.org/hawthornfield/internal/load/poison"
)

const quarantinePath = "/quarantine"

// handler serves operators on the metrics listener: it lists quarantined requests and
// lifts their quarantine. All other paths go to metrics.
func (q *quarantine) handler(metrics http.Handler) http.Handler {
	engine := gin.New()
	engine.NoRoute(gin.WrapH(metrics))
	engine.GET(quarantinePath, func(c *gin.Context) { c.JSON(http.StatusOK, q.verdicts()) })
	engine.DELETE(quarantinePath+"/:print", func(c *gin.Context) {
		var p poison.Fingerprint
		if err := p.UnmarshalText([]byte(c.Param("print"))); err != nil {
			c.String(http.StatusBadRequest, "%s\n", err)
			return
		}
		if !q.blocks(p.Common()) {
			c.String(http.StatusNotFound, "not in quarantine here\n")
			return
		}
		q.update(func(now time.Time) { q.table.Release(now, p) })
		q.parts.Log.Info("quarantine lifted by an operator", "print", p.Print())
		c.Status(http.StatusNoContent)
	})
	return engine
}
