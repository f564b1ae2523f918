/** Validator generated from schema/shares.yaml.
 * @module */

// @ts-nocheck: generated code
"use strict";
export const validate = validate20;
export default validate20;
const schema31 = {"$schema":"https://json-schema.org/draft/2020-12/schema","title":"SharesMessage","description":"What hosts and the allocator tell each other of shares of limits.","type":"object","discriminator":{"propertyName":"type"},"required":["type"],"oneOf":[{"$ref":"#/$defs/Report"},{"$ref":"#/$defs/Grant"},{"$ref":"#/$defs/Lead"}],"$defs":{"LimitColumn":{"title":"LimitColumn","description":"Column of the table that holds the limit.","enum":["rate","concurrency"]},"Report":{"title":"Report","description":"What a host needs; sent to the allocator about once a second.","type":"object","additionalProperties":false,"required":["type","number","term","applied","rows"],"properties":{"type":{"const":"report"},"number":{"description":"Grows with each report of one run of the host.","type":"integer","minimum":0},"term":{"description":"Term of the allocator that the host reports to.","type":"integer","minimum":0},"applied":{"description":"Number of the last grant in force at the host.","type":"integer","minimum":0},"like":{"description":"Number of an answered report whose rows it changes; absent when it has all rows.","type":"integer","minimum":0},"rows":{"description":"A demand of 0 without requests in flight ends a claim.","type":"array","maxItems":10000,"items":{"$ref":"#/$defs/Claim"}}}},"Claim":{"title":"Claim","type":"object","additionalProperties":false,"required":["row","column","demand","held"],"properties":{"row":{"type":"string","minLength":1,"maxLength":128},"column":{"$ref":"#/$defs/LimitColumn"},"demand":{"description":"Requests a second, or requests in flight and waiting.","type":"number","minimum":0},"held":{"description":"Leased to the host now, over its base.","type":"number","minimum":0},"used":{"description":"Requests in flight over its base, which may outlast a lease.","type":"number","minimum":0}}},"Grant":{"title":"Grant","description":"Shares over the base, for the length of a lease that begins when the report was sent.","type":"object","additionalProperties":false,"required":["type","number","term","report","lease"],"properties":{"type":{"const":"grant"},"number":{"description":"Grows with each grant of one term.","type":"integer","minimum":1},"term":{"type":"integer","minimum":0},"report":{"description":"Number of the report that it answers.","type":"integer","minimum":0},"lease":{"description":"Milliseconds.","type":"integer","minimum":0},"like":{"description":"Number of the grant in force whose shares it changes or repeats.","type":"integer","minimum":1},"rows":{"description":"Absent when it repeats a grant. An extra of 0 ends a share.","type":"array","maxItems":10000,"items":{"$ref":"#/$defs/Share"}}}},"Lead":{"title":"Lead","description":"Answer of the allocator to a report that names another term.","type":"object","additionalProperties":false,"required":["type","term"],"properties":{"type":{"const":"lead"},"term":{"type":"integer","minimum":0}}},"Share":{"title":"Share","type":"object","additionalProperties":false,"required":["row","column","extra"],"properties":{"row":{"type":"string","minLength":1,"maxLength":128},"column":{"$ref":"#/$defs/LimitColumn"},"extra":{"type":"number","minimum":0}}}}};
const schema38 = {"title":"Lead","description":"Answer of the allocator to a report that names another term.","type":"object","additionalProperties":false,"required":["type","term"],"properties":{"type":{"const":"lead"},"term":{"type":"integer","minimum":0}}};
const schema32 = {"title":"Report","description":"What a host needs; sent to the allocator about once a second.","type":"object","additionalProperties":false,"required":["type","number","term","applied","rows"],"properties":{"type":{"const":"report"},"number":{"description":"Grows with each report of one run of the host.","type":"integer","minimum":0},"term":{"description":"Term of the allocator that the host reports to.","type":"integer","minimum":0},"applied":{"description":"Number of the last grant in force at the host.","type":"integer","minimum":0},"like":{"description":"Number of an answered report whose rows it changes; absent when it has all rows.","type":"integer","minimum":0},"rows":{"description":"A demand of 0 without requests in flight ends a claim.","type":"array","maxItems":10000,"items":{"$ref":"#/$defs/Claim"}}}};
const schema33 = {"title":"Claim","type":"object","additionalProperties":false,"required":["row","column","demand","held"],"properties":{"row":{"type":"string","minLength":1,"maxLength":128},"column":{"$ref":"#/$defs/LimitColumn"},"demand":{"description":"Requests a second, or requests in flight and waiting.","type":"number","minimum":0},"held":{"description":"Leased to the host now, over its base.","type":"number","minimum":0},"used":{"description":"Requests in flight over its base, which may outlast a lease.","type":"number","minimum":0}}};
const schema34 = {"title":"LimitColumn","description":"Column of the table that holds the limit.","enum":["rate","concurrency"]};

function validate22(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate22.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing0;
if(((((data.row === undefined) && (missing0 = "row")) || ((data.column === undefined) && (missing0 = "column"))) || ((data.demand === undefined) && (missing0 = "demand"))) || ((data.held === undefined) && (missing0 = "held"))){
validate22.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema33.required,parentSchema:schema33,data}];
return false;
}
else {
const _errs1 = errors;
for(const key0 in data){
if(!(((((key0 === "row") || (key0 === "column")) || (key0 === "demand")) || (key0 === "held")) || (key0 === "used"))){
validate22.errors = [{instancePath,schemaPath:"#/additionalProperties",keyword:"additionalProperties",params:{additionalProperty: key0},message:"must NOT have additional properties",schema:false,parentSchema:schema33,data}];
return false;
break;
}
}
if(_errs1 === errors){
if(data.row !== undefined){
let data0 = data.row;
const _errs2 = errors;
if(errors === _errs2){
if(typeof data0 === "string"){
if(data0.length > 128){
validate22.errors = [{instancePath:instancePath+"/row",schemaPath:"#/properties/row/maxLength",keyword:"maxLength",params:{limit: 128},message:"must NOT have more than 128 characters",schema:128,parentSchema:schema33.properties.row,data:data0}];
return false;
}
else {
if(data0.length < 1){
validate22.errors = [{instancePath:instancePath+"/row",schemaPath:"#/properties/row/minLength",keyword:"minLength",params:{limit: 1},message:"must NOT have fewer than 1 characters",schema:1,parentSchema:schema33.properties.row,data:data0}];
return false;
}
}
}
else {
validate22.errors = [{instancePath:instancePath+"/row",schemaPath:"#/properties/row/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema33.properties.row.type,parentSchema:schema33.properties.row,data:data0}];
return false;
}
}
var valid0 = _errs2 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.column !== undefined){
let data1 = data.column;
const _errs4 = errors;
if(!((data1 === "rate") || (data1 === "concurrency"))){
validate22.errors = [{instancePath:instancePath+"/column",schemaPath:"#/$defs/LimitColumn/enum",keyword:"enum",params:{allowedValues: schema34.enum},message:"must be equal to one of the allowed values",schema:schema34.enum,parentSchema:schema34,data:data1}];
return false;
}
var valid0 = _errs4 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.demand !== undefined){
let data2 = data.demand;
const _errs6 = errors;
if(errors === _errs6){
if((typeof data2 == "number") && (isFinite(data2))){
if(data2 < 0 || isNaN(data2)){
validate22.errors = [{instancePath:instancePath+"/demand",schemaPath:"#/properties/demand/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema33.properties.demand,data:data2}];
return false;
}
}
else {
validate22.errors = [{instancePath:instancePath+"/demand",schemaPath:"#/properties/demand/type",keyword:"type",params:{type: "number"},message:"must be number",schema:schema33.properties.demand.type,parentSchema:schema33.properties.demand,data:data2}];
return false;
}
}
var valid0 = _errs6 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.held !== undefined){
let data3 = data.held;
const _errs8 = errors;
if(errors === _errs8){
if((typeof data3 == "number") && (isFinite(data3))){
if(data3 < 0 || isNaN(data3)){
validate22.errors = [{instancePath:instancePath+"/held",schemaPath:"#/properties/held/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema33.properties.held,data:data3}];
return false;
}
}
else {
validate22.errors = [{instancePath:instancePath+"/held",schemaPath:"#/properties/held/type",keyword:"type",params:{type: "number"},message:"must be number",schema:schema33.properties.held.type,parentSchema:schema33.properties.held,data:data3}];
return false;
}
}
var valid0 = _errs8 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.used !== undefined){
let data4 = data.used;
const _errs10 = errors;
if(errors === _errs10){
if((typeof data4 == "number") && (isFinite(data4))){
if(data4 < 0 || isNaN(data4)){
validate22.errors = [{instancePath:instancePath+"/used",schemaPath:"#/properties/used/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema33.properties.used,data:data4}];
return false;
}
}
else {
validate22.errors = [{instancePath:instancePath+"/used",schemaPath:"#/properties/used/type",keyword:"type",params:{type: "number"},message:"must be number",schema:schema33.properties.used.type,parentSchema:schema33.properties.used,data:data4}];
return false;
}
}
var valid0 = _errs10 === errors;
}
else {
var valid0 = true;
}
}
}
}
}
}
}
}
else {
validate22.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema33.type,parentSchema:schema33,data}];
return false;
}
}
validate22.errors = vErrors;
return errors === 0;
}
validate22.evaluated = {"props":true,"dynamicProps":false,"dynamicItems":false};


function validate21(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate21.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing0;
if((((((data.type === undefined) && (missing0 = "type")) || ((data.number === undefined) && (missing0 = "number"))) || ((data.term === undefined) && (missing0 = "term"))) || ((data.applied === undefined) && (missing0 = "applied"))) || ((data.rows === undefined) && (missing0 = "rows"))){
validate21.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema32.required,parentSchema:schema32,data}];
return false;
}
else {
const _errs1 = errors;
for(const key0 in data){
if(!((((((key0 === "type") || (key0 === "number")) || (key0 === "term")) || (key0 === "applied")) || (key0 === "like")) || (key0 === "rows"))){
validate21.errors = [{instancePath,schemaPath:"#/additionalProperties",keyword:"additionalProperties",params:{additionalProperty: key0},message:"must NOT have additional properties",schema:false,parentSchema:schema32,data}];
return false;
break;
}
}
if(_errs1 === errors){
if(data.type !== undefined){
let data0 = data.type;
const _errs2 = errors;
if("report" !== data0){
validate21.errors = [{instancePath:instancePath+"/type",schemaPath:"#/properties/type/const",keyword:"const",params:{allowedValue: "report"},message:"must be equal to constant",schema:"report",parentSchema:schema32.properties.type,data:data0}];
return false;
}
var valid0 = _errs2 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.number !== undefined){
let data1 = data.number;
const _errs3 = errors;
if(!(((typeof data1 == "number") && (!(data1 % 1) && !isNaN(data1))) && (isFinite(data1)))){
validate21.errors = [{instancePath:instancePath+"/number",schemaPath:"#/properties/number/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema32.properties.number.type,parentSchema:schema32.properties.number,data:data1}];
return false;
}
if(errors === _errs3){
if((typeof data1 == "number") && (isFinite(data1))){
if(data1 < 0 || isNaN(data1)){
validate21.errors = [{instancePath:instancePath+"/number",schemaPath:"#/properties/number/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema32.properties.number,data:data1}];
return false;
}
}
}
var valid0 = _errs3 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.term !== undefined){
let data2 = data.term;
const _errs5 = errors;
if(!(((typeof data2 == "number") && (!(data2 % 1) && !isNaN(data2))) && (isFinite(data2)))){
validate21.errors = [{instancePath:instancePath+"/term",schemaPath:"#/properties/term/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema32.properties.term.type,parentSchema:schema32.properties.term,data:data2}];
return false;
}
if(errors === _errs5){
if((typeof data2 == "number") && (isFinite(data2))){
if(data2 < 0 || isNaN(data2)){
validate21.errors = [{instancePath:instancePath+"/term",schemaPath:"#/properties/term/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema32.properties.term,data:data2}];
return false;
}
}
}
var valid0 = _errs5 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.applied !== undefined){
let data3 = data.applied;
const _errs7 = errors;
if(!(((typeof data3 == "number") && (!(data3 % 1) && !isNaN(data3))) && (isFinite(data3)))){
validate21.errors = [{instancePath:instancePath+"/applied",schemaPath:"#/properties/applied/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema32.properties.applied.type,parentSchema:schema32.properties.applied,data:data3}];
return false;
}
if(errors === _errs7){
if((typeof data3 == "number") && (isFinite(data3))){
if(data3 < 0 || isNaN(data3)){
validate21.errors = [{instancePath:instancePath+"/applied",schemaPath:"#/properties/applied/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema32.properties.applied,data:data3}];
return false;
}
}
}
var valid0 = _errs7 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.like !== undefined){
let data4 = data.like;
const _errs9 = errors;
if(!(((typeof data4 == "number") && (!(data4 % 1) && !isNaN(data4))) && (isFinite(data4)))){
validate21.errors = [{instancePath:instancePath+"/like",schemaPath:"#/properties/like/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema32.properties.like.type,parentSchema:schema32.properties.like,data:data4}];
return false;
}
if(errors === _errs9){
if((typeof data4 == "number") && (isFinite(data4))){
if(data4 < 0 || isNaN(data4)){
validate21.errors = [{instancePath:instancePath+"/like",schemaPath:"#/properties/like/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema32.properties.like,data:data4}];
return false;
}
}
}
var valid0 = _errs9 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.rows !== undefined){
let data5 = data.rows;
const _errs11 = errors;
if(errors === _errs11){
if(Array.isArray(data5)){
if(data5.length > 10000){
validate21.errors = [{instancePath:instancePath+"/rows",schemaPath:"#/properties/rows/maxItems",keyword:"maxItems",params:{limit: 10000},message:"must NOT have more than 10000 items",schema:10000,parentSchema:schema32.properties.rows,data:data5}];
return false;
}
else {
var valid1 = true;
const len0 = data5.length;
for(let i0=0; i0<len0; i0++){
const _errs13 = errors;
if(!(validate22(data5[i0], {instancePath:instancePath+"/rows/" + i0,parentData:data5,parentDataProperty:i0,rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate22.errors : vErrors.concat(validate22.errors);
errors = vErrors.length;
}
var valid1 = _errs13 === errors;
if(!valid1){
break;
}
}
}
}
else {
validate21.errors = [{instancePath:instancePath+"/rows",schemaPath:"#/properties/rows/type",keyword:"type",params:{type: "array"},message:"must be array",schema:schema32.properties.rows.type,parentSchema:schema32.properties.rows,data:data5}];
return false;
}
}
var valid0 = _errs11 === errors;
}
else {
var valid0 = true;
}
}
}
}
}
}
}
}
}
else {
validate21.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema32.type,parentSchema:schema32,data}];
return false;
}
}
validate21.errors = vErrors;
return errors === 0;
}
validate21.evaluated = {"props":true,"dynamicProps":false,"dynamicItems":false};

const schema35 = {"title":"Grant","description":"Shares over the base, for the length of a lease that begins when the report was sent.","type":"object","additionalProperties":false,"required":["type","number","term","report","lease"],"properties":{"type":{"const":"grant"},"number":{"description":"Grows with each grant of one term.","type":"integer","minimum":1},"term":{"type":"integer","minimum":0},"report":{"description":"Number of the report that it answers.","type":"integer","minimum":0},"lease":{"description":"Milliseconds.","type":"integer","minimum":0},"like":{"description":"Number of the grant in force whose shares it changes or repeats.","type":"integer","minimum":1},"rows":{"description":"Absent when it repeats a grant. An extra of 0 ends a share.","type":"array","maxItems":10000,"items":{"$ref":"#/$defs/Share"}}}};
const schema36 = {"title":"Share","type":"object","additionalProperties":false,"required":["row","column","extra"],"properties":{"row":{"type":"string","minLength":1,"maxLength":128},"column":{"$ref":"#/$defs/LimitColumn"},"extra":{"type":"number","minimum":0}}};

function validate25(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate25.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing0;
if((((data.row === undefined) && (missing0 = "row")) || ((data.column === undefined) && (missing0 = "column"))) || ((data.extra === undefined) && (missing0 = "extra"))){
validate25.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema36.required,parentSchema:schema36,data}];
return false;
}
else {
const _errs1 = errors;
for(const key0 in data){
if(!(((key0 === "row") || (key0 === "column")) || (key0 === "extra"))){
validate25.errors = [{instancePath,schemaPath:"#/additionalProperties",keyword:"additionalProperties",params:{additionalProperty: key0},message:"must NOT have additional properties",schema:false,parentSchema:schema36,data}];
return false;
break;
}
}
if(_errs1 === errors){
if(data.row !== undefined){
let data0 = data.row;
const _errs2 = errors;
if(errors === _errs2){
if(typeof data0 === "string"){
if(data0.length > 128){
validate25.errors = [{instancePath:instancePath+"/row",schemaPath:"#/properties/row/maxLength",keyword:"maxLength",params:{limit: 128},message:"must NOT have more than 128 characters",schema:128,parentSchema:schema36.properties.row,data:data0}];
return false;
}
else {
if(data0.length < 1){
validate25.errors = [{instancePath:instancePath+"/row",schemaPath:"#/properties/row/minLength",keyword:"minLength",params:{limit: 1},message:"must NOT have fewer than 1 characters",schema:1,parentSchema:schema36.properties.row,data:data0}];
return false;
}
}
}
else {
validate25.errors = [{instancePath:instancePath+"/row",schemaPath:"#/properties/row/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema36.properties.row.type,parentSchema:schema36.properties.row,data:data0}];
return false;
}
}
var valid0 = _errs2 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.column !== undefined){
let data1 = data.column;
const _errs4 = errors;
if(!((data1 === "rate") || (data1 === "concurrency"))){
validate25.errors = [{instancePath:instancePath+"/column",schemaPath:"#/$defs/LimitColumn/enum",keyword:"enum",params:{allowedValues: schema34.enum},message:"must be equal to one of the allowed values",schema:schema34.enum,parentSchema:schema34,data:data1}];
return false;
}
var valid0 = _errs4 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.extra !== undefined){
let data2 = data.extra;
const _errs6 = errors;
if(errors === _errs6){
if((typeof data2 == "number") && (isFinite(data2))){
if(data2 < 0 || isNaN(data2)){
validate25.errors = [{instancePath:instancePath+"/extra",schemaPath:"#/properties/extra/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema36.properties.extra,data:data2}];
return false;
}
}
else {
validate25.errors = [{instancePath:instancePath+"/extra",schemaPath:"#/properties/extra/type",keyword:"type",params:{type: "number"},message:"must be number",schema:schema36.properties.extra.type,parentSchema:schema36.properties.extra,data:data2}];
return false;
}
}
var valid0 = _errs6 === errors;
}
else {
var valid0 = true;
}
}
}
}
}
}
else {
validate25.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema36.type,parentSchema:schema36,data}];
return false;
}
}
validate25.errors = vErrors;
return errors === 0;
}
validate25.evaluated = {"props":true,"dynamicProps":false,"dynamicItems":false};


function validate24(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate24.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing0;
if((((((data.type === undefined) && (missing0 = "type")) || ((data.number === undefined) && (missing0 = "number"))) || ((data.term === undefined) && (missing0 = "term"))) || ((data.report === undefined) && (missing0 = "report"))) || ((data.lease === undefined) && (missing0 = "lease"))){
validate24.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema35.required,parentSchema:schema35,data}];
return false;
}
else {
const _errs1 = errors;
for(const key0 in data){
if(!(((((((key0 === "type") || (key0 === "number")) || (key0 === "term")) || (key0 === "report")) || (key0 === "lease")) || (key0 === "like")) || (key0 === "rows"))){
validate24.errors = [{instancePath,schemaPath:"#/additionalProperties",keyword:"additionalProperties",params:{additionalProperty: key0},message:"must NOT have additional properties",schema:false,parentSchema:schema35,data}];
return false;
break;
}
}
if(_errs1 === errors){
if(data.type !== undefined){
let data0 = data.type;
const _errs2 = errors;
if("grant" !== data0){
validate24.errors = [{instancePath:instancePath+"/type",schemaPath:"#/properties/type/const",keyword:"const",params:{allowedValue: "grant"},message:"must be equal to constant",schema:"grant",parentSchema:schema35.properties.type,data:data0}];
return false;
}
var valid0 = _errs2 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.number !== undefined){
let data1 = data.number;
const _errs3 = errors;
if(!(((typeof data1 == "number") && (!(data1 % 1) && !isNaN(data1))) && (isFinite(data1)))){
validate24.errors = [{instancePath:instancePath+"/number",schemaPath:"#/properties/number/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema35.properties.number.type,parentSchema:schema35.properties.number,data:data1}];
return false;
}
if(errors === _errs3){
if((typeof data1 == "number") && (isFinite(data1))){
if(data1 < 1 || isNaN(data1)){
validate24.errors = [{instancePath:instancePath+"/number",schemaPath:"#/properties/number/minimum",keyword:"minimum",params:{comparison: ">=", limit: 1},message:"must be >= 1",schema:1,parentSchema:schema35.properties.number,data:data1}];
return false;
}
}
}
var valid0 = _errs3 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.term !== undefined){
let data2 = data.term;
const _errs5 = errors;
if(!(((typeof data2 == "number") && (!(data2 % 1) && !isNaN(data2))) && (isFinite(data2)))){
validate24.errors = [{instancePath:instancePath+"/term",schemaPath:"#/properties/term/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema35.properties.term.type,parentSchema:schema35.properties.term,data:data2}];
return false;
}
if(errors === _errs5){
if((typeof data2 == "number") && (isFinite(data2))){
if(data2 < 0 || isNaN(data2)){
validate24.errors = [{instancePath:instancePath+"/term",schemaPath:"#/properties/term/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema35.properties.term,data:data2}];
return false;
}
}
}
var valid0 = _errs5 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.report !== undefined){
let data3 = data.report;
const _errs7 = errors;
if(!(((typeof data3 == "number") && (!(data3 % 1) && !isNaN(data3))) && (isFinite(data3)))){
validate24.errors = [{instancePath:instancePath+"/report",schemaPath:"#/properties/report/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema35.properties.report.type,parentSchema:schema35.properties.report,data:data3}];
return false;
}
if(errors === _errs7){
if((typeof data3 == "number") && (isFinite(data3))){
if(data3 < 0 || isNaN(data3)){
validate24.errors = [{instancePath:instancePath+"/report",schemaPath:"#/properties/report/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema35.properties.report,data:data3}];
return false;
}
}
}
var valid0 = _errs7 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.lease !== undefined){
let data4 = data.lease;
const _errs9 = errors;
if(!(((typeof data4 == "number") && (!(data4 % 1) && !isNaN(data4))) && (isFinite(data4)))){
validate24.errors = [{instancePath:instancePath+"/lease",schemaPath:"#/properties/lease/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema35.properties.lease.type,parentSchema:schema35.properties.lease,data:data4}];
return false;
}
if(errors === _errs9){
if((typeof data4 == "number") && (isFinite(data4))){
if(data4 < 0 || isNaN(data4)){
validate24.errors = [{instancePath:instancePath+"/lease",schemaPath:"#/properties/lease/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema35.properties.lease,data:data4}];
return false;
}
}
}
var valid0 = _errs9 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.like !== undefined){
let data5 = data.like;
const _errs11 = errors;
if(!(((typeof data5 == "number") && (!(data5 % 1) && !isNaN(data5))) && (isFinite(data5)))){
validate24.errors = [{instancePath:instancePath+"/like",schemaPath:"#/properties/like/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema35.properties.like.type,parentSchema:schema35.properties.like,data:data5}];
return false;
}
if(errors === _errs11){
if((typeof data5 == "number") && (isFinite(data5))){
if(data5 < 1 || isNaN(data5)){
validate24.errors = [{instancePath:instancePath+"/like",schemaPath:"#/properties/like/minimum",keyword:"minimum",params:{comparison: ">=", limit: 1},message:"must be >= 1",schema:1,parentSchema:schema35.properties.like,data:data5}];
return false;
}
}
}
var valid0 = _errs11 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.rows !== undefined){
let data6 = data.rows;
const _errs13 = errors;
if(errors === _errs13){
if(Array.isArray(data6)){
if(data6.length > 10000){
validate24.errors = [{instancePath:instancePath+"/rows",schemaPath:"#/properties/rows/maxItems",keyword:"maxItems",params:{limit: 10000},message:"must NOT have more than 10000 items",schema:10000,parentSchema:schema35.properties.rows,data:data6}];
return false;
}
else {
var valid1 = true;
const len0 = data6.length;
for(let i0=0; i0<len0; i0++){
const _errs15 = errors;
if(!(validate25(data6[i0], {instancePath:instancePath+"/rows/" + i0,parentData:data6,parentDataProperty:i0,rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate25.errors : vErrors.concat(validate25.errors);
errors = vErrors.length;
}
var valid1 = _errs15 === errors;
if(!valid1){
break;
}
}
}
}
else {
validate24.errors = [{instancePath:instancePath+"/rows",schemaPath:"#/properties/rows/type",keyword:"type",params:{type: "array"},message:"must be array",schema:schema35.properties.rows.type,parentSchema:schema35.properties.rows,data:data6}];
return false;
}
}
var valid0 = _errs13 === errors;
}
else {
var valid0 = true;
}
}
}
}
}
}
}
}
}
}
else {
validate24.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema35.type,parentSchema:schema35,data}];
return false;
}
}
validate24.errors = vErrors;
return errors === 0;
}
validate24.evaluated = {"props":true,"dynamicProps":false,"dynamicItems":false};


function validate20(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate20.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing0;
if((data.type === undefined) && (missing0 = "type")){
validate20.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema31.required,parentSchema:schema31,data}];
return false;
}
else {
const tag0 = data.type;
if(typeof tag0 == "string"){
if(tag0 === "report"){
if(!(validate21(data, {instancePath,parentData,parentDataProperty,rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate21.errors : vErrors.concat(validate21.errors);
errors = vErrors.length;
}
var props0 = true;
}
else if(tag0 === "grant"){
if(!(validate24(data, {instancePath,parentData,parentDataProperty,rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate24.errors : vErrors.concat(validate24.errors);
errors = vErrors.length;
}
if(props0 !== true){
props0 = true;
}
}
else if(tag0 === "lead"){
const _errs5 = errors;
if(errors === _errs5){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing1;
if(((data.type === undefined) && (missing1 = "type")) || ((data.term === undefined) && (missing1 = "term"))){
validate20.errors = [{instancePath,schemaPath:"#/$defs/Lead/required",keyword:"required",params:{missingProperty: missing1},message:"must have required property '"+missing1+"'",schema:schema38.required,parentSchema:schema38,data}];
return false;
}
else {
const _errs7 = errors;
for(const key0 in data){
if(!((key0 === "type") || (key0 === "term"))){
validate20.errors = [{instancePath,schemaPath:"#/$defs/Lead/additionalProperties",keyword:"additionalProperties",params:{additionalProperty: key0},message:"must NOT have additional properties",schema:false,parentSchema:schema38,data}];
return false;
break;
}
}
if(_errs7 === errors){
if(data.type !== undefined){
let data0 = data.type;
const _errs8 = errors;
if("lead" !== data0){
validate20.errors = [{instancePath:instancePath+"/type",schemaPath:"#/$defs/Lead/properties/type/const",keyword:"const",params:{allowedValue: "lead"},message:"must be equal to constant",schema:"lead",parentSchema:schema38.properties.type,data:data0}];
return false;
}
var valid5 = _errs8 === errors;
}
else {
var valid5 = true;
}
if(valid5){
if(data.term !== undefined){
let data1 = data.term;
const _errs9 = errors;
if(!(((typeof data1 == "number") && (!(data1 % 1) && !isNaN(data1))) && (isFinite(data1)))){
validate20.errors = [{instancePath:instancePath+"/term",schemaPath:"#/$defs/Lead/properties/term/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema38.properties.term.type,parentSchema:schema38.properties.term,data:data1}];
return false;
}
if(errors === _errs9){
if((typeof data1 == "number") && (isFinite(data1))){
if(data1 < 0 || isNaN(data1)){
validate20.errors = [{instancePath:instancePath+"/term",schemaPath:"#/$defs/Lead/properties/term/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema38.properties.term,data:data1}];
return false;
}
}
}
var valid5 = _errs9 === errors;
}
else {
var valid5 = true;
}
}
}
}
}
else {
validate20.errors = [{instancePath,schemaPath:"#/$defs/Lead/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema38.type,parentSchema:schema38,data}];
return false;
}
}
if(props0 !== true){
props0 = true;
}
}
else {
validate20.errors = [{instancePath,schemaPath:"#/discriminator",keyword:"discriminator",params:{error: "mapping", tag: "type", tagValue: tag0},message:"value of tag \"type\" must be in oneOf",schema:schema31.discriminator,parentSchema:schema31,data}];
return false;
}
}
else {
validate20.errors = [{instancePath,schemaPath:"#/discriminator",keyword:"discriminator",params:{error: "tag", tag: "type", tagValue: tag0},message:"tag \"type\" must be string",schema:schema31.discriminator,parentSchema:schema31,data}];
return false;
}
}
}
else {
validate20.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema31.type,parentSchema:schema31,data}];
return false;
}
}
validate20.errors = vErrors;
evaluated0.props = props0;
return errors === 0;
}
validate20.evaluated = {"dynamicProps":true,"dynamicItems":false};

